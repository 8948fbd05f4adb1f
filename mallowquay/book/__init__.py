"""The book: numbered entries that all gatekeepers of a fleet hold alike. Off without a part that needs it."""
