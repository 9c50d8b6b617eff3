package org.verbenamast.core.admission;

/** What the gate asks of other parts of the node. */
public interface AdmissionRules {

    /**
     * Tells whether operators have taken this node's availability zone out. Requests for keys are served a little
     * longer, until their keys have moved.
     *
     * @param keyed whether the request is for a key
     * @param now the monotonic time, in nanoseconds
     * @return whether no such request may reach the server
     */
    boolean isEvacuated(boolean keyed, long now);

    /**
     * Tells whether the server holds a key.
     *
     * @param key the key
     * @param now the monotonic time, in nanoseconds
     * @return whether it holds the key
     */
    boolean isGranted(int key, long now);

    /**
     * Tells whether a request is suspected to crash servers.
     *
     * @param id the number under which the node keeps the request
     * @return whether it must not run
     */
    boolean isSuspect(long id);
}
