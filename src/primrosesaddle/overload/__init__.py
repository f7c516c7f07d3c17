"""Decisions about calls for which there may be too little room, without I/O."""
