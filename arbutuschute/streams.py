"""Names of the streams that the system keeps in the platform's log."""

CONFIGURATION = 'configuration'
CLAIMS = 'claims'
BILLS = 'bills'
LEASES = 'leases'
