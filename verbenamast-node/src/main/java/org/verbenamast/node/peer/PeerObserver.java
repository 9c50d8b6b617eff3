package org.verbenamast.node.peer;

import org.verbenamast.core.node.NodeInput;
import org.verbenamast.wire.WireFault;

/** Is told what happens on the links between members. */
public interface PeerObserver {

    /**
     * Takes what the decisions have to know.
     *
     * @param input what happened
     */
    void happened(NodeInput input);

    /**
     * Counts bytes that were sent.
     *
     * @param bytes the number of bytes
     */
    void sent(int bytes);

    /**
     * Counts bytes that were received.
     *
     * @param bytes the number of bytes
     */
    void received(int bytes);

    /**
     * Counts a message that could not be read.
     *
     * @param fault the kind of fault
     * @param message what was wrong
     */
    void refused(WireFault fault, String message);
}
