"""Which router does a duty for the others of its failure domain."""
