"""Entry process and command line of lycheeslip."""
