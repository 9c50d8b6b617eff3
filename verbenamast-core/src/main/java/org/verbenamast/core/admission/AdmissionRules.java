package org.verbenamast.core.admission;

/** The conditions for admission that other parts of the node decide. */
public interface AdmissionRules {

    /**
     * Returns whether operators have evacuated this node's availability zone, that is, taken it out of service.
     * Requests for keys are served for a short time longer, until their keys have moved.
     *
     * @param keyed whether the request is for a key
     * @param now the monotonic time, in nanoseconds
     * @return whether to refuse such a request
     */
    boolean isEvacuated(boolean keyed, long now);

    /**
     * Returns whether a key is granted to the server.
     *
     * @param key the key
     * @param now the monotonic time, in nanoseconds
     * @return whether the server may serve requests for the key
     */
    boolean isGranted(int key, long now);

    /**
     * Returns whether a key that is not granted to the server is about to be, with the answer to its next heartbeat.
     *
     * @param key the key
     * @param now the monotonic time, in nanoseconds
     * @return whether requests for the key may wait here
     */
    boolean isExpected(int key, long now);

    /**
     * Returns whether a request is suspected of crashing servers.
     *
     * @param id the number under which the node keeps the request
     * @param now the monotonic time, in nanoseconds
     * @return whether the request must not run
     */
    boolean isSuspect(long id, long now);
}
