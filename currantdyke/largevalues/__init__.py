"""Transfer large values between daemons as differences, and in parts."""
