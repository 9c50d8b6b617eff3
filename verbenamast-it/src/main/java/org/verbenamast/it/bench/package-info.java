/** Measurements of real processes and of charts. */
package org.verbenamast.it.bench;
