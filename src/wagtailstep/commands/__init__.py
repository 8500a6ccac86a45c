"""What the programs do, apart from reading their arguments."""
