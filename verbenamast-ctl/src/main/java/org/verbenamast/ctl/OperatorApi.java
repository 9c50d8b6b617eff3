package org.verbenamast.ctl;

import java.nio.charset.StandardCharsets;

import io.vavr.control.Either;
import org.verbenamast.core.model.Address;

/** A node's operator interface. */
interface OperatorApi {

    /**
     * An answer of a node.
     *
     * @param status the HTTP status
     * @param body the body
     */
    record Reply(int status, byte[] body) {

        private static final int OK = 200;

        boolean ok() {
            return status == OK;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /**
     * Asks a node.
     *
     * @param node the node
     * @param path the path with its query
     * @return the answer, or why there is none
     */
    Either<CtlFault, Reply> get(Address node, String path);

    /**
     * Sends a node a command.
     *
     * @param node the node
     * @param path the path
     * @param body the body
     * @return the answer, or why there is none
     */
    Either<CtlFault, Reply> post(Address node, String path, byte[] body);

    /**
     * Lets time pass.
     *
     * @param millis how long, in milliseconds
     */
    void pause(long millis);
}
