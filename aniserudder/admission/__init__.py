"""Who may come in: decisions without I/O. door.py decides; trie.py, sketch.py and wheel.py are the structures made for it;
descriptors.py counts what the process holds; entry.py orders what waits to be taken up. Listeners only ask and obey."""
