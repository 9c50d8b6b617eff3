package org.verbenamast.node.peer;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of a link. */
public enum LinkAction implements Action<LinkData, LinkInput> {
    /** Keeps the message until the connection stands. */
    HOLD {
        @Override
        public LinkData apply(LinkData data, LinkInput input, long now, Effects effects) {
            data.link().hold(input.message());
            return data;
        }
    },
    /** Starts to connect. */
    CONNECT {
        @Override
        public LinkData apply(LinkData data, LinkInput input, long now, Effects effects) {
            data.link().connect();
            return data;
        }
    },
    /** Takes the connection into use and writes what was kept. */
    USE_SOCKET {
        @Override
        public LinkData apply(LinkData data, LinkInput input, long now, Effects effects) {
            data.link().use(input.socket());
            return data;
        }
    },
    /** Writes the message. */
    WRITE {
        @Override
        public LinkData apply(LinkData data, LinkInput input, long now, Effects effects) {
            data.link().write(input.message());
            return data;
        }
    },
    /** Writes what has been waiting for the last write. */
    WRITE_ON {
        @Override
        public LinkData apply(LinkData data, LinkInput input, long now, Effects effects) {
            data.link().writeOn();
            return data;
        }
    },
    /** Reports the message as not sent. */
    REFUSE {
        @Override
        public LinkData apply(LinkData data, LinkInput input, long now, Effects effects) {
            data.link().refuse(input.message());
            return data;
        }
    },
    /** Reports all messages that were kept as not sent. */
    REFUSE_HELD {
        @Override
        public LinkData apply(LinkData data, LinkInput input, long now, Effects effects) {
            data.link().refuseHeld();
            return data;
        }
    },
    /** Reports the link as lost. */
    REPORT_LOST {
        @Override
        public LinkData apply(LinkData data, LinkInput input, long now, Effects effects) {
            data.link().reportLost();
            return data;
        }
    },
    /** Closes the connection. */
    CLOSE_SOCKET {
        @Override
        public LinkData apply(LinkData data, LinkInput input, long now, Effects effects) {
            data.link().closeSocket();
            return data;
        }
    }
}
