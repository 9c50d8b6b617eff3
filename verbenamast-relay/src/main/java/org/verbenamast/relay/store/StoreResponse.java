package org.verbenamast.relay.store;

import org.verbenamast.core.store.StoreFailure;

/**
 * A response of the store.
 *
 * @param status the HTTP status; 0 if the store sent no response
 * @param body the body; empty if there is none
 */
record StoreResponse(int status, byte[] body) {

    private static final int OK = 200;
    private static final int PRECONDITION_FAILED = 412;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    static final StoreResponse NO_RESPONSE = new StoreResponse(0, new byte[0]);
    /** Stands for a call that was never sent, so that it certainly had no effect. */
    static final StoreResponse UNSENT = new StoreResponse(SERVICE_UNAVAILABLE, new byte[0]);

    boolean ok() {
        return status == OK;
    }

    boolean conflict() {
        return status == PRECONDITION_FAILED;
    }

    boolean gone() {
        return status == GONE;
    }

    /** Returns how the call failed, for a status that is neither success nor a conflict. */
    StoreFailure failure() {
        return switch (status) {
            case 0 -> StoreFailure.NO_ANSWER;
            case TOO_MANY_REQUESTS -> StoreFailure.THROTTLED;
            case SERVICE_UNAVAILABLE -> StoreFailure.UNAVAILABLE;
            default -> StoreFailure.UNREADABLE;
        };
    }
}
