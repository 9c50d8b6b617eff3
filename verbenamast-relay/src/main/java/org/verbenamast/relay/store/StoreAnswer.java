package org.verbenamast.relay.store;

import org.verbenamast.core.store.StoreFailure;

/**
 * What the store answered.
 *
 * @param status the HTTP status; 0 where no answer came
 * @param body the body
 */
record StoreAnswer(int status, byte[] body) {

    private static final int OK = 200;
    private static final int CONFLICT = 412;
    private static final int GONE = 410;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    static final StoreAnswer NONE = new StoreAnswer(0, new byte[0]);
    /** The call was never sent. */
    static final StoreAnswer UNSENT = new StoreAnswer(UNAVAILABLE, new byte[0]);

    boolean ok() {
        return status == OK;
    }

    boolean conflict() {
        return status == CONFLICT;
    }

    boolean gone() {
        return status == GONE;
    }

    /** Tells how the call failed, where it is neither well nor a conflict. */
    StoreFailure failure() {
        return switch (status) {
            case 0 -> StoreFailure.NO_ANSWER;
            case TOO_MANY -> StoreFailure.THROTTLED;
            case UNAVAILABLE -> StoreFailure.UNAVAILABLE;
            default -> StoreFailure.UNREADABLE;
        };
    }
}
