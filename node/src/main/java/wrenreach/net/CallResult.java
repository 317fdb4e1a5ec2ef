package wrenreach.net;

import wrenreach.api.Outcome;

/** What an endpoint answered; over: nothing more is owed. */
record CallResult(Outcome outcome, double[] loadReport, boolean completed, boolean readable) { }
