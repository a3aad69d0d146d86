"""Read and write the platform's objects."""
