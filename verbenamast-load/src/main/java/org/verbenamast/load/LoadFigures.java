package org.verbenamast.load;

/**
 * The figures of a service, or of a whole load. Latencies count from the moment at which a request was due, so that a
 * slow answer does not hide the wait of those behind it.
 *
 * @param name the service, or {@code all}
 * @param sent requests sent
 * @param answered requests that a backend server answered
 * @param notRun requests refused as not run
 * @param unknown requests whose outcome is unknown
 * @param failed requests without a usable reply
 * @param p50Micros the median latency of answered requests, in microseconds
 * @param p99Micros the 99th percentile, in microseconds
 * @param p999Micros the 99.9th percentile, in microseconds
 * @param maxMicros the longest latency, in microseconds
 */
public record LoadFigures(
        String name,
        long sent,
        long answered,
        long notRun,
        long unknown,
        long failed,
        long p50Micros,
        long p99Micros,
        long p999Micros,
        long maxMicros) {}
