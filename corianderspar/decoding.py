"""The errors of decoding bytes that another party wrote."""

import msgspec

# Beside errors of its own, msgspec raises RecursionError for values that are
# nested too deep; conversions raise ValueError and OverflowError.
ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)
