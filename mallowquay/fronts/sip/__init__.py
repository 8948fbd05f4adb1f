"""SIP: messages for both fronts; transport, transactions, dialogs, front and server side of the second."""
