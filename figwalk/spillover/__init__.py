"""Demand across regions: when work leaves its region, where it goes, and homes of shared parts."""
