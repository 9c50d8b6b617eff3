/**
 * The execution of requests at the backend server beside a node: which requests run, wait or are refused. The state
 * machines are the charts {@code serve} and {@code server}.
 */
package org.verbenamast.core.gate;
