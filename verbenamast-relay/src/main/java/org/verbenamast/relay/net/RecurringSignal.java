package org.verbenamast.relay.net;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/** A signal that fires repeatedly; each wait ends at the next firing. */
public final class RecurringSignal {

    private SettablePromise<Void> next;

    /**
     * Waits for the next firing.
     *
     * @return a promise that completes at the next firing; all callers that wait until then share it
     */
    public Promise<Void> next() {
        if (next == null) {
            next = new SettablePromise<>();
        }
        return next;
    }

    /** Completes the current wait. The callers may start to wait for the next firing from within their callbacks. */
    public void fire() {
        if (next != null) {
            SettablePromise<Void> fired = next;
            next = null;
            fired.set(null);
        }
    }
}
