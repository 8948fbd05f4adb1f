"""The loss of a whole site: what is known of it, where its load goes, how it returns. No I/O."""
