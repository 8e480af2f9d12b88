"""Names of the streams in the platform's log."""

CONFIGURATION = 'configuration'
CLAIMS = 'claims'
BILLS = 'bills'
LEASES = 'leases'
