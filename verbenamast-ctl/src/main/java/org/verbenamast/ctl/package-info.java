/** The operators' command line. */
package org.verbenamast.ctl;
