== shallow copy of waves:  : 
