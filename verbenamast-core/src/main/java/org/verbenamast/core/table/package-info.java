/** The shared table of weights and limits, its sign-off by both organisations, and the marks of what is out. */
package org.verbenamast.core.table;
