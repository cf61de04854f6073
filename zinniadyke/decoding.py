"""What msgspec raises for bytes that another process chose."""

import msgspec

# Deep nesting ends in RecursionError, which msgspec does not convert.
UNREADABLE = (msgspec.MsgspecError, ValueError, RecursionError)
