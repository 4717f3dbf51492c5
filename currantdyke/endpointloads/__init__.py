"""How loaded endpoints say that they are, and what a call to one will take."""
