"""What operators declare: profiles, organisations and their history."""
