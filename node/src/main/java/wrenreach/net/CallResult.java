package wrenreach.net;

import wrenreach.api.Outcome;

/**
 * The result of a call.
 *
 * @param loadReport values in the order of the settings, empty where there is no readable report
 * @param completed whether nothing is outstanding for the mail any more
 * @param readable whether the protocol names the status of the response
 */
record CallResult(Outcome outcome, double[] loadReport, boolean completed, boolean readable) { }
