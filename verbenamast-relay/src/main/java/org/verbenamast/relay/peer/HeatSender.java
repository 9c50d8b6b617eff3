package org.verbenamast.relay.peer;

import java.util.Objects;

import org.verbenamast.core.keys.KeyEffect;
import org.verbenamast.core.model.Address;
import org.verbenamast.wire.relay.RelayFrames;

/** Tells the node that plans how busy keys were; a report that gets lost is made good by the next one. */
public final class HeatSender {

    private final PeerPool pool;

    /**
     * Makes a sender.
     *
     * @param pool the connections to other nodes
     */
    public HeatSender(PeerPool pool) {
        this.pool = Objects.requireNonNull(pool, "pool");
    }

    /**
     * Sends a report.
     *
     * @param tell the report and who gets it
     */
    public void send(KeyEffect.TellHeat tell) {
        Address address = tell.to().peer();
        pool.take(address)
                .whenResult(link -> {
                    link.send(RelayFrames.heat(tell.report()));
                    pool.giveBack(address, link);
                })
                .whenException(e -> pool.drop(address));
    }
}
