/** Metrics and trace spans. */
package org.verbenamast.node.telemetry;
