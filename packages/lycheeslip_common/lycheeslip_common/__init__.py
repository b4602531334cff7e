"""Types, protocols and helpers shared by the processes of lycheeslip."""
