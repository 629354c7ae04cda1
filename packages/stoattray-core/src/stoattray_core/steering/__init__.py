"""Cookie placement: each packet names its backend server, no flow state is agreed."""
