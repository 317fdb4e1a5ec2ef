wrenreach.lab.LabCommand
