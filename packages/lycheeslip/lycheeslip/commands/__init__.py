"""What each command does; `lycheeslip.cli` only reads its arguments."""
