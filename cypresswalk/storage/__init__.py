"""Common parts of stored files: folders and chains of sealed records. No I/O of its own."""
