"""What operators promise and allow: the file's content, checked as a whole."""
