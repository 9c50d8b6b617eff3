package org.verbenamast.relay.net;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/** Something that may be waited for again and again: each wait ends the next time it happens. */
public final class Awaited {

    private SettablePromise<Void> next;

    /**
     * Waits until it happens.
     *
     * @return a promise that is kept then; the same for all who wait meanwhile
     */
    public Promise<Void> next() {
        if (next == null) {
            next = new SettablePromise<>();
        }
        return next;
    }

    /** Tells those who wait that it has happened. They may wait for the next time at once. */
    public void happened() {
        if (next != null) {
            SettablePromise<Void> kept = next;
            next = null;
            kept.set(null);
        }
    }
}
