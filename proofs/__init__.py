"""Small specifications of the core protocols, checked by a model checker."""
