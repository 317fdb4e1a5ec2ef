package wrenreach.net;

import wrenreach.api.Outcome;

/** What an endpoint answered; over: nothing more is owed. */
record CallAnswer(Outcome outcome, double[] report, boolean over, boolean understood) { }
