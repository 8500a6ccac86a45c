"""Translation between wagtailstep and the users' platform. Nothing is decided here."""
