"""What stored files have in common: folders and chains of sealed records. No I/O of its own."""
