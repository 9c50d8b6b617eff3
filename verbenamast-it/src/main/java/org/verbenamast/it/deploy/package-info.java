/** Starts and ends deployments of real processes on one machine. */
package org.verbenamast.it.deploy;
