"""aniserudder: a router that sends a language model's sequences to separate readers and writers."""
