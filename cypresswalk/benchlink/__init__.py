"""The bench's wire: decodes its events, hosts many instances and carries out what they decide."""
