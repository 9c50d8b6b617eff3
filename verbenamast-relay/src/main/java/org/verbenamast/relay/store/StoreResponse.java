package org.verbenamast.relay.store;

import java.util.OptionalLong;

import org.verbenamast.core.store.StoreFailure;

/**
 * A response of the store.
 *
 * @param status the HTTP status; 0 if the store sent no response, -1 if the response is longer than allowed
 * @param era the store's era that the response tells; empty if it tells none
 * @param body the body; empty if there is none
 * @param timing when the parts of the response arrived, also if it is not complete
 */
record StoreResponse(int status, OptionalLong era, byte[] body, ResponseTiming timing) {

    private static final int OVERSIZED = -1;
    private static final int OK = 200;
    private static final int PRECONDITION_FAILED = 412;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Returns what stands for a response that did not arrive, or not as a whole. */
    static StoreResponse missing(ResponseTiming timing) {
        return new StoreResponse(0, OptionalLong.empty(), new byte[0], timing);
    }

    /** Returns what stands for a response that was not received as it is longer than allowed. */
    static StoreResponse oversized(ResponseTiming timing) {
        return new StoreResponse(OVERSIZED, OptionalLong.empty(), new byte[0], timing);
    }

    /** Returns what stands for a call that was never sent, so that it certainly had no effect. */
    static StoreResponse unsent(ResponseTiming timing) {
        return new StoreResponse(SERVICE_UNAVAILABLE, OptionalLong.empty(), new byte[0], timing);
    }

    boolean ok() {
        return status == OK;
    }

    boolean conflict() {
        return status == PRECONDITION_FAILED;
    }

    boolean oversized() {
        return status == OVERSIZED;
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
