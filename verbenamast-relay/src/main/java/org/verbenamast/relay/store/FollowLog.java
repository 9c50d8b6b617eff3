package org.verbenamast.relay.store;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.watch.FollowedTable;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.telemetry.LogField;

/** Logs the calls that follow a table, once for each that ends with rows or fails, so that their delays can be told. */
final class FollowLog {

    private static final Logger LOG = LoggerFactory.getLogger(FollowLog.class);

    private FollowLog() {}

    /**
     * Logs an answer whose rows have been applied.
     *
     * @param table the table
     * @param callId the number of the call
     * @param afterVersion the version after which changes were requested; 0 for a read of all rows
     * @param version the store's version as of the answer
     * @param rows the number of rows
     * @param timing when the answer arrived
     * @param receivedAt the monotonic time when decoding began, in nanoseconds
     */
    static void answered(
            FollowedTable table,
            long callId,
            long afterVersion,
            long version,
            int rows,
            ResponseTiming timing,
            long receivedAt) {
        LOG.info(
                "store call for {} answered",
                table,
                LogField.SUBJECT.of(table),
                LogField.CALL.of(callId),
                LogField.AFTER_VERSION.of(afterVersion),
                LogField.STORE_VERSION.of(version),
                LogField.ROWS.of(rows),
                LogField.BYTES.of(timing.bytes()),
                LogField.FIRST_BYTE_TIME.of(timing.firstByteMillis()),
                LogField.RECEIVE_TIME.of(timing.receiveMillis()),
                LogField.APPLY_TIME.of((RelayLoop.now() - receivedAt) / Timing.NANOS_PER_MILLI));
    }

    /**
     * Logs a call that failed.
     *
     * @param table the table
     * @param callId the number of the call
     * @param afterVersion the version after which changes were requested; 0 for a read of all rows
     * @param cause why it failed
     * @param timing when the part of the answer arrived that did
     */
    static void failed(FollowedTable table, long callId, long afterVersion, String cause, ResponseTiming timing) {
        LOG.info(
                "store call for {} failed: {}",
                table,
                cause,
                LogField.SUBJECT.of(table),
                LogField.CALL.of(callId),
                LogField.AFTER_VERSION.of(afterVersion),
                LogField.BYTES.of(timing.bytes()),
                LogField.FIRST_BYTE_TIME.of(timing.firstByteMillis()),
                LogField.RECEIVE_TIME.of(timing.receiveMillis()));
    }
}
