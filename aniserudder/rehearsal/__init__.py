"""Scripted days on loopback: day.py is their form, plan.py draws one by a seed, stage.py plays it, audit.py judges it."""
