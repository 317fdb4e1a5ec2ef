package wrenreach.state;

/**
 * What distinguishes a response from others: hashes of its content, so that equal responses have equal fingerprints.
 *
 * @param content hash of all parts of the response that the protocol defines
 * @param body hash of its body; 0 if it has none
 * @param delivered whether it says that the mail is delivered
 * @param merged whether it contains, or may end in the middle of, the start of another response
 */
public record ResponseFingerprint(int content, int body, boolean delivered, boolean merged) { }
