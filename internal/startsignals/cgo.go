package startsignals

import "C" // links startsignals.c
