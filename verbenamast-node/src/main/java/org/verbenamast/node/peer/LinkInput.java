package org.verbenamast.node.peer;

import io.activej.net.socket.tcp.ITcpSocket;
import org.verbenamast.core.message.PeerMessage;

/**
 * What an event tells a link.
 *
 * @param message the message to send, or null for other events
 * @param socket the connection that stands, or null for other events
 */
public record LinkInput(PeerMessage message, ITcpSocket socket) {

    /** The input of events that tell nothing more. */
    public static final LinkInput NONE = new LinkInput(null, null);
}
